package settings_test

import (
	"encoding/json"
	"fmt"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const smallTree = `{"set":{"tier":2},"children":[
  {"name":"classes","set":{"model":"m"},"children":[
    {"name":"chat","kind":"class","set":{"tier":0}},
    {"name":"tag","kind":"class"}]},
  {"name":"portal","set":{"service":"s"},"children":[
    {"name":"card","kind":"class","set":{"match":[{"method":"GET","prefix":"/cards"}]}},
    {"name":"page","kind":"class","set":{"match":[{"prefix":"/"}]}}]},
  {"name":"teams","set":{"weight":3},"children":[
    {"name":"a","kind":"team","set":{"key_hashes":["0000000000000000000000000000000000000000000000000000000000000000"]}}]}]}`

func parsed(text string) settings.Tree {
	t, err := settings.Parse([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return t
}

func codeOf(err error) result.Code {
	var e *result.Error
	Expect(err).To(BeAssignableToTypeOf(e))
	return err.(*result.Error).Code
}

func weight(n int) settings.Node {
	return settings.Node{Kind: settings.Team, Set: settings.Fields{Weight: &n}}
}

var _ = Describe("Tree", func() {
	It("inherits fields and overrides them in children", func() {
		s, err := settings.Compile(parsed(smallTree))
		Expect(err).NotTo(HaveOccurred())
		chat, _ := s.Class("chat")
		tag, _ := s.Class("tag")
		Expect(chat.Terms.Tier).To(Equal(0))
		Expect(tag.Terms.Tier).To(Equal(2))
		Expect(tag.Model).To(Equal("m"))
		Expect(tag.Terms.FirstToken).To(Equal(2 * time.Second))
	})

	It("selects the class of a service by the best match", func() {
		s, err := settings.Compile(parsed(smallTree))
		Expect(err).NotTo(HaveOccurred())
		card, _ := s.ServiceClass("s", "GET", "/cards/1")
		page, _ := s.ServiceClass("s", "POST", "/cards/1")
		Expect(card.Name).To(Equal("card"))
		Expect(page.Name).To(Equal("page"))
	})

	It("round-trips its nested form", func() {
		data, err := json.Marshal(parsed(smallTree))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Diff(parsed(smallTree), parsed(string(data)))).To(BeEmpty())
	})

	It("is not changed by With and Without", func() {
		t := parsed(smallTree)
		t.With("teams/b", weight(5))
		t.Without("teams")
		Expect(t.Len()).To(Equal(parsed(smallTree).Len()))
	})

	DescribeTable("refuses invalid trees with a code and the location",
		func(text, location string) {
			t, err := settings.Parse([]byte(text))
			if err == nil {
				_, err = settings.Compile(t)
			}
			Expect(codeOf(err)).To(Equal(result.SettingsInvalid))
			Expect(err.Error()).To(ContainSubstring(location))
		},
		Entry("no JSON", `{`, "not JSON"),
		Entry("wrong type", `{"set":{"tier":"x"}}`, "/set/tier"),
		Entry("out of range", `{"set":{"tier":9}}`, "/set/tier"),
		Entry("unknown field", `{"set":{"teir":1}}`, "teir"),
		Entry("duplicate node", `{"children":[{"name":"a"},{"name":"a"}]}`, `"a" stands twice`),
		Entry("duplicate class name", `{"set":{"model":"m"},"children":[{"name":"x","children":[{"name":"c","kind":"class"}]},{"name":"y","children":[{"name":"c","kind":"class"}]}]}`, "another class"),
		Entry("no target", `{"children":[{"name":"c","kind":"class"}]}`, "neither model nor service"),
		Entry("unknown class", `{"children":[{"name":"t","kind":"team","set":{"default_class":"none"}}]}`, `no class "none"`),
		Entry("preemptible but not repeatable", `{"set":{"model":"m","preemptible":true},"children":[{"name":"c","kind":"class"}]}`, "needs repeatable"),
	)
})

var _ = Describe("Rebase", func() {
	base := func() settings.Tree { return parsed(smallTree) }

	It("merges changes of different nodes", func() {
		mine := base().With("teams/b", weight(2))
		theirs := base().With("teams/c", weight(3))
		t, err := settings.Rebase(base(), mine, theirs)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Diff(base(), t)).To(HaveLen(2))
	})

	DescribeTable("refuses conflicting changes",
		func(mine, theirs func(settings.Tree) settings.Tree) {
			_, err := settings.Rebase(base(), mine(base()), theirs(base()))
			Expect(codeOf(err)).To(Equal(result.SettingsConflict))
		},
		Entry("the same node",
			func(t settings.Tree) settings.Tree { return t.With("teams/a", weight(2)) },
			func(t settings.Tree) settings.Tree { return t.With("teams/a", weight(3)) }),
		Entry("a change below a removed node",
			func(t settings.Tree) settings.Tree { return t.With("teams/b", weight(2)) },
			func(t settings.Tree) settings.Tree { return t.Without("teams") }),
		Entry("a removal above a changed node",
			func(t settings.Tree) settings.Tree { return t.Without("teams") },
			func(t settings.Tree) settings.Tree { return t.With("teams/b", weight(2)) }),
	)
})

var _ = Describe("Version", func() {
	It("joins split parts to an equal tree", func() {
		t := parsed(smallTree)
		for n := range 500 {
			t = t.With(fmt.Sprintf("teams/t%d", n), weight(n+1))
		}
		r, parts, err := settings.Split(t, settings.Root{Version: 3})
		Expect(err).NotTo(HaveOccurred())
		joined, err := settings.Join(r, parts)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Diff(t, joined)).To(BeEmpty())
	})

	It("shares all parts but one with the previous version after a change of one node", func() {
		t := parsed(smallTree)
		for n := range 500 {
			t = t.With(fmt.Sprintf("teams/t%d", n), weight(1))
		}
		_, before, err := settings.Split(t, settings.Root{})
		Expect(err).NotTo(HaveOccurred())
		r, _, err := settings.Split(t.With("teams/t7", weight(2)), settings.Root{})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Missing(before)).To(HaveLen(1))
	})

	It("refuses a damaged part", func() {
		r, parts, err := settings.Split(parsed(smallTree), settings.Root{})
		Expect(err).NotTo(HaveOccurred())
		for h := range parts {
			parts[h] = []byte("{}")
		}
		_, err = settings.Join(r, parts)
		Expect(codeOf(err)).To(Equal(result.SettingsInvalid))
	})
})

func ExampleTree_Resolve() {
	t, err := settings.Parse([]byte(smallTree))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(*t.Resolve("classes/chat").Tier, *t.Resolve("classes/tag").Tier, *t.Resolve("teams/a").Weight)
	// Output: 0 2 3
}
