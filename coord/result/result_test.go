package result_test

import (
	"fmt"
	"os"
	"strings"

	"foxcross.dev/coord/result"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const page = "../../docs/CODES.md"

var _ = Describe("Table", func() {
	It("lists each code once, in ascending order", func() {
		for n := 1; n < len(result.Table); n++ {
			Expect(result.Table[n].Code).To(BeNumerically(">", result.Table[n-1].Code))
		}
	})

	It("matches the page", func() {
		data, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		var rows []string
		for _, line := range strings.Split(string(data), "\n") {
			if strings.HasPrefix(line, "| 1") {
				rows = append(rows, line)
			}
		}
		var want []string
		for _, e := range result.Table {
			want = append(want, fmt.Sprintf("| %d | %s | %d | %s |", e.Code, e.Name, e.Status, e.Text))
		}
		Expect(rows).To(Equal(want))
	})
})

func ExampleErrorf() {
	fmt.Println(result.Errorf(result.QueueFull, "tier %d", 2))
	// Output: 1201 queue_full: tier 2 (not run)
}
