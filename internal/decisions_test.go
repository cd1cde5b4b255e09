package internal_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"os"
	"strings"
	"testing"
)

// decisionsPage lists the rules and their numbers. This test generates it from the
// code: UPDATE_GOLDEN=1 go test ./internal -run TestDecisionsPage.
const decisionsPage = "../docs/DECISIONS.md"

const decisionsHead = `# Decisions

Generated from the code by internal/decisions_test.go (UPDATE_GOLDEN=1 go test ./internal
-run TestDecisionsPage writes it); do not edit. Each section shows the head comment and
the constants of one file, first of direct mode in the order of a request's path, then of
relay mode. The alternatives that were compared, and their figures, are in
docs/EXPERIMENTS.md and docs/CAPACITY.md.
`

// decisionFiles are the files with rules or their numbers, in the order of a request's
// path.
var decisionFiles = []string{
	"coord/settings/keys.go",
	"internal/direct/gateway/deny.go",
	"internal/direct/gateway/capacity.go",
	"internal/direct/gateway/callers.go",
	"internal/direct/gateway/bodies.go",
	"internal/direct/gateway/heads.go",
	"internal/direct/gateway/upload.go",
	"internal/direct/gateway/unread.go",
	"internal/direct/upstream/head.go",
	"internal/direct/upstream/buffers.go",
	"internal/direct/gateway/attempts.go",
	"coord/eligibility/eligibility.go",
	"coord/eligibility/sharedrate.go",
	"coord/eligibility/warmup.go",
	"coord/eligibility/limit.go",
	"coord/eligibility/backoff.go",
	"coord/eligibility/drain.go",
	"coord/memory/cache.go",
	"coord/memory/transfer.go",
	"coord/memory/fetch.go",
	"coord/memory/missrate.go",
	"coord/placement/choose.go",
	"coord/placement/candidates.go",
	"coord/placement/cost.go",
	"coord/admission/admission.go",
	"coord/admission/standing.go",
	"coord/admission/state.go",
	"coord/admission/returns.go",
	"coord/admission/line.go",
	"coord/share/share.go",
	"coord/share/contention.go",
	"coord/placement/work.go",
	"coord/placement/load.go",
	"internal/direct/gateway/admission.go",
	"internal/direct/gateway/returns.go",
	"coord/placement/pool.go",
	"coord/placement/home.go",
	"coord/placement/source.go",
	"coord/replication/rule.go",
	"coord/replication/crashes.go",
	"coord/replication/run.go",
	"coord/placement/replica.go",
	"coord/placement/health.go",
	"coord/placement/signals.go",
	"coord/placement/unavailability.go",
	"coord/placement/attempts.go",
	"coord/freshness/freshness.go",
	"coord/resumption/rule.go",
	"coord/resumption/origins.go",
	"coord/resumption/versions.go",
	"internal/direct/gateway/resumption.go",
	"internal/direct/peers/origin.go",
	"coord/placement/arrivals.go",
	"coord/placement/endpoint.go",
	"coord/placement/prefill.go",
	"coord/placement/interval.go",
	"coord/placement/speed.go",
	"coord/placement/pause.go",
	"coord/placement/busy.go",
	"coord/placement/spread.go",
	"coord/placement/table.go",
	"coord/placement/snapshot.go",
	"coord/fanout/fanout.go",
	"internal/direct/gateway/snapshot.go",
	"internal/direct/gateway/signals.go",
	"coord/resumption/processes.go",
	"internal/direct/gateway/processes.go",
	"internal/direct/gateway/outcome.go",
	"coord/quarantine/quarantine.go",
	"coord/quarantine/combination.go",
	"coord/quarantine/table.go",
	"internal/direct/gateway/content.go",
	"internal/direct/gateway/held.go",
	"internal/direct/gateway/claim.go",
	"internal/direct/gateway/trial.go",
	"internal/direct/upstream/crashed.go",
	"coord/budget/budget.go",
	"internal/direct/gateway/replicas.go",
	"internal/direct/gateway/response.go",
	"internal/direct/gateway/stream.go",
	"internal/direct/gateway/gateway.go",
	"internal/direct/gateway/server.go",
	"internal/direct/gateway/stop.go",
	"internal/direct/upstream/pool.go",
	"internal/direct/upstream/conn.go",
	"internal/direct/upstream/exchange.go",
	"internal/direct/directory/follow.go",
	"internal/direct/directory/evacuations.go",
	"internal/direct/directory/retention.go",
	"internal/direct/directory/changes.go",
	"internal/direct/peers/member.go",
	"internal/direct/peers/keepalive.go",
	"internal/direct/peers/role.go",
	"internal/direct/peers/catchup.go",
	"internal/direct/peers/group.go",
	"internal/direct/peers/events.go",
	"internal/direct/peers/packet.go",
	"internal/direct/peers/relay.go",
	"coord/signals/signals.go",
	"internal/direct/peers/signals.go",
	"internal/direct/peers/bundle.go",
	"internal/direct/peers/report.go",
	"internal/direct/peers/presence.go",
	"internal/direct/peers/snapshot.go",
	"internal/direct/peers/state.go",
	"platform/store.go",
	"platform/prompt.go",
	"internal/process/listen.go",
	"internal/process/reload.go",
	"internal/process/gauges.go",
	"internal/logs/async.go",
	"internal/logs/limited.go",
	"internal/metrics/metrics.go",
	"coord/binding/core.go",
	"coord/binding/choose.go",
	"coord/dispatch/fill.go",
	"coord/dispatch/core.go",
	"coord/dispatch/pool.go",
	"coord/queue/class.go",
	"coord/limit/estimator.go",
	"coord/limit/team.go",
	"coord/health/health.go",
	"coord/affinity/affinity.go",
	"coord/subset/subset.go",
	"internal/relay/entry/entry.go",
	"internal/relay/entry/handler.go",
	"internal/relay/entry/call.go",
	"internal/relay/entry/attempt.go",
	"internal/relay/entry/contents.go",
	"internal/relay/entry/agents.go",
	"internal/relay/entry/members.go",
	"internal/relay/agent/agent.go",
	"internal/relay/agent/owner.go",
	"internal/relay/agent/contents.go",
	"internal/relay/link/quic.go",
	"internal/relay/link/codec.go",
	"internal/relay/endpoint/http.go",
	"internal/relay/endpoint/chat.go",
	"internal/relay/endpoint/crashed.go",
	"internal/relay/versions/holder.go",
	"internal/relay/versions/store.go",
	"internal/relay/claims/claims.go",
	"internal/relay/kv/httpkv/client.go",
	"internal/relay/admin/tree.go",
	"internal/relay/config/config.go",
	"internal/relay/keys/keys.go",
}

// TestDecisionsPage compares docs/DECISIONS.md with the code, and requires a comment on
// each constant of the files.
func TestDecisionsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString(decisionsHead)
	for _, name := range decisionFiles {
		describeFile(t, &page, name)
	}
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(decisionsPage, []byte(page.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(decisionsPage)
	if err != nil {
		t.Fatal(err)
	}
	if page.String() != string(want) {
		t.Errorf("%s differs from the code; %s", decisionsPage, decisionsHead)
	}
}

// describeFile writes the head comment of a file and its constants.
func describeFile(t *testing.T, page *strings.Builder, name string) {
	t.Helper()
	files := token.NewFileSet()
	f, err := parser.ParseFile(files, "../"+name, nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(page, "\n## %s\n", name)
	if rule := headComment(f); rule != "" {
		fmt.Fprintf(page, "\n%s", rule)
	}
	rows := 0
	for _, d := range f.Decls {
		g, ok := d.(*ast.GenDecl)
		if !ok || g.Tok != token.CONST {
			continue
		}
		group := g.Doc.Text()
		for _, s := range g.Specs {
			v := s.(*ast.ValueSpec)
			if len(v.Values) == 0 || isStringLiteral(v.Values[0]) || v.Type != nil {
				continue // names and enumerations are not listed
			}
			switch {
			case v.Doc != nil:
				group = v.Doc.Text()
			case v.Comment != nil:
				group = v.Comment.Text()
			}
			if group == "" {
				t.Errorf("%s: a constant has no comment", files.Position(v.Pos()))
			}
			if rows == 0 {
				page.WriteString("\n| constant | value | meaning and source |\n| --- | --- | --- |\n")
			}
			rows++
			fmt.Fprintf(page, "| `%s` | `%s` | %s |\n", v.Names[0].Name, sourceText(t, files, v.Values[0]), strings.Join(strings.Fields(group), " "))
		}
	}
}

// headComment returns the comments before the package clause: the rule of the file, or
// the package comment.
func headComment(f *ast.File) string {
	var text string
	for _, c := range f.Comments {
		if c.End() < f.Package {
			text += c.Text()
		}
	}
	return text
}

func isStringLiteral(x ast.Expr) bool {
	literal, ok := x.(*ast.BasicLit)
	return ok && literal.Kind == token.STRING
}

func sourceText(t *testing.T, files *token.FileSet, x ast.Expr) string {
	t.Helper()
	var b strings.Builder
	if err := printer.Fprint(&b, files, x); err != nil {
		t.Fatal(err)
	}
	return b.String()
}
