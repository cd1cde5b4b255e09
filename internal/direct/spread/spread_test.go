package spread_test

import (
	"os"
	"strings"

	"foxcross.dev/foxcross/internal/direct/spread"
)

// Three peers log new settings, one of them a little later. An endpoint leaves the list twice,
// a minute apart.
func Example() {
	logs := strings.Join([]string{
		`  1.04 entry-1 {"message":"directory: Settings are active.","timestamp":"2026-01-01T00:00:01.040Z","fields":{"version":5}}`,
		`  1.30 entry-3 {"message":"directory: Settings are active.","timestamp":"2026-01-01T00:00:01.300Z","fields":{"version":5}}`,
		`{"message":"directory: Settings are active.","timestamp":"2026-01-01T00:00:01.150Z","fields":{"version":5}}`,
		`{"message":"directory: An endpoint left the list.","timestamp":"2026-01-01T00:00:02Z","fields":{"endpoint":"i-1"}}`,
		`{"message":"directory: An endpoint left the list.","timestamp":"2026-01-01T00:01:02Z","fields":{"endpoint":"i-1"}}`,
		`{"message":"directory: An endpoint was added or changed.","timestamp":"2026-01-01T00:00:02Z","fields":{"endpoint":"i-2"}}`,
		`{"message":"gateway: An endpoint advertises a rate limit.","timestamp":"2026-01-01T00:00:03Z","fields":{"endpoint":"i-1"}}`,
		`{"message":"gateway: An endpoint advertises a rate limit.","timestamp":"2026-01-01T00:00:03.025Z","fields":{"endpoint":"i-1"}}`,
		`{"message":"gateway: An endpoint no longer advertises a rate limit.","timestamp":"2026-01-01T00:00:09Z","fields":{"endpoint":"i-1"}}`,
		`another program's line {`,
	}, "\n")
	rows, err := spread.Read(strings.NewReader(logs))
	if err == nil {
		err = spread.Write(os.Stdout, rows)
	}
	if err != nil {
		panic(err)
	}
	// Output:
	//               news  pieces  entries  middle ms  largest  last ms  largest
	//       endpoint gone       2        1          0        0        0        0
	//         limit named       1        2         25       25       25       25
	//          limit over       1        1          0        0        0        0
	//   settings in force       1        3        110      110      260      260
}
