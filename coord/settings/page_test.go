package settings_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"foxcross.dev/coord/settings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// documentedDefaults returns the default of each field in the page's table of tree fields.
func documentedDefaults() map[string]string {
	data, err := os.ReadFile("../../docs/SETTINGS.md")
	Expect(err).NotTo(HaveOccurred())
	_, table, _ := strings.Cut(string(data), "| field |")
	table, _, _ = strings.Cut(table, "\n\n")
	all := map[string]string{}
	for _, line := range strings.Split(table, "\n")[2:] {
		cells := strings.Split(line, " | ")
		all[strings.TrimPrefix(cells[0], "| ")] = cells[2]
	}
	return all
}

var _ = Describe("docs/SETTINGS.md", func() {
	It("lists exactly the fields of the tree, with their defaults", func() {
		page := documentedDefaults()
		fields := reflect.TypeFor[settings.Fields]()
		Expect(page).To(HaveLen(fields.NumField()))
		defaults := reflect.ValueOf(settings.Defaults)
		for n := range fields.NumField() {
			name, _, _ := strings.Cut(fields.Field(n).Tag.Get("json"), ",")
			Expect(page).To(HaveKey(name))
			if v := defaults.Field(n); !v.IsNil() {
				Expect(page[name]).To(HavePrefix(fmt.Sprint(v.Elem().Interface())), name)
			}
		}
	})
})
