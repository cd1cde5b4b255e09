package config_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"foxcross.dev/coord/binding"
	"foxcross.dev/coord/dispatch"
	"foxcross.dev/coord/queue"
	"foxcross.dev/coord/subset"
	"foxcross.dev/foxcross/internal/relay/agent"
	"foxcross.dev/foxcross/internal/relay/claims"
	"foxcross.dev/foxcross/internal/relay/config"
	"foxcross.dev/foxcross/internal/relay/entry"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// documentedDefaults returns the default of each field in the page's table of a program. A
// row may name several fields, with as many defaults.
func documentedDefaults(program string) map[string]string {
	data, err := os.ReadFile("../../../docs/SETTINGS.md")
	Expect(err).NotTo(HaveOccurred())
	_, table, _ := strings.Cut(string(data), "| "+program+" | unit |")
	table, _, _ = strings.Cut(table, "\n\n")
	all := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(table), "\n")[2:] {
		cells := strings.Split(line, " | ")
		names := strings.Split(strings.TrimPrefix(cells[0], "| "), ", ")
		defaults := strings.Split(cells[2], ", ")
		for n, name := range names {
			all[name] = defaults[min(n, len(defaults)-1)]
		}
	}
	return all
}

// fieldPaths returns the paths of a file's fields as the page writes them.
func fieldPaths(t reflect.Type, prefix string) []string {
	var all []string
	for n := range t.NumField() {
		f := t.Field(n)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch f.Type.Kind() {
		case reflect.Struct:
			all = append(all, fieldPaths(f.Type, prefix+name+".")...)
		case reflect.Slice:
			if f.Type.Elem().Kind() == reflect.Struct {
				all = append(all, fieldPaths(f.Type.Elem(), prefix+name+"[].")...)
				continue
			}
			all = append(all, prefix+name)
		default:
			all = append(all, prefix+name)
		}
	}
	return all
}

var _ = DescribeTable("docs/SETTINGS.md lists exactly the fields of a file, with their defaults",
	func(program string, file reflect.Type, defaults map[string]any) {
		page := documentedDefaults(program)
		var names []string
		for name := range page {
			names = append(names, name)
		}
		Expect(names).To(ConsistOf(fieldPaths(file, "")))
		for name, v := range defaults {
			if d, ok := v.(time.Duration); ok {
				v = d.Milliseconds()
			}
			Expect(page[name]).To(Equal(fmt.Sprint(v)), name)
		}
	},
	Entry("of an entry", "entry", reflect.TypeFor[config.Entry](), map[string]any{
		"most_body_bytes":  entry.DefaultMaxBody,
		"most_requests":    binding.DefaultRequests,
		"most_agents":      subset.Default,
		"fanout":           binding.DefaultFanout,
		"member_list_ms":   entry.DefaultListInterval,
		"stop_grace_ms":    config.DefaultStopGrace,
		"stop_timeout_ms":  config.DefaultStopTimeout,
		"claim_period_ms":  claims.DefaultPeriod,
		"claim_retain":     claims.DefaultRetain,
		"claim_partitions": claims.DefaultPartitions,
	}),
	Entry("of an agent", "agent", reflect.TypeFor[config.Agent](), map[string]any{
		"queue_bound":     queue.DefaultBound,
		"heartbeat_ms":    agent.DefaultHeartbeat,
		"hold_ms":         dispatch.DefaultHold,
		"stop_timeout_ms": config.DefaultStopTimeout,
	}),
)
