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

const small = `{"set":{"tier":2},"children":[
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
	It("lets a child inherit and override", func() {
		s, err := settings.Compile(parsed(small))
		Expect(err).NotTo(HaveOccurred())
		chat, _ := s.Class("chat")
		tag, _ := s.Class("tag")
		Expect(chat.Terms.Tier).To(Equal(0))
		Expect(tag.Terms.Tier).To(Equal(2))
		Expect(tag.Model).To(Equal("m"))
		Expect(tag.Terms.FirstToken).To(Equal(2 * time.Second))
	})

	It("chooses a service's class by the best match", func() {
		s, err := settings.Compile(parsed(small))
		Expect(err).NotTo(HaveOccurred())
		card, _ := s.ServiceClass("s", "GET", "/cards/1")
		page, _ := s.ServiceClass("s", "POST", "/cards/1")
		Expect(card.Name).To(Equal("card"))
		Expect(page.Name).To(Equal("page"))
	})

	It("keeps its nested form", func() {
		data, err := json.Marshal(parsed(small))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Diff(parsed(small), parsed(string(data)))).To(BeEmpty())
	})

	It("does not change when a copy does", func() {
		t := parsed(small)
		t.With("teams/b", weight(5))
		t.Without("teams")
		Expect(t.Len()).To(Equal(parsed(small).Len()))
	})

	DescribeTable("refuses what is wrong, with a code and the place",
		func(text, place string) {
			t, err := settings.Parse([]byte(text))
			if err == nil {
				_, err = settings.Compile(t)
			}
			Expect(codeOf(err)).To(Equal(result.SettingsInvalid))
			Expect(err.Error()).To(ContainSubstring(place))
		},
		Entry("no JSON", `{`, "not JSON"),
		Entry("wrong type", `{"set":{"tier":"x"}}`, "/set/tier"),
		Entry("out of range", `{"set":{"tier":9}}`, "/set/tier"),
		Entry("unknown field", `{"set":{"teir":1}}`, "teir"),
		Entry("twice", `{"children":[{"name":"a"},{"name":"a"}]}`, `"a" stands twice`),
		Entry("two classes of a name", `{"set":{"model":"m"},"children":[{"name":"x","children":[{"name":"c","kind":"class"}]},{"name":"y","children":[{"name":"c","kind":"class"}]}]}`, "another class"),
		Entry("no target", `{"children":[{"name":"c","kind":"class"}]}`, "neither model nor service"),
		Entry("unknown class", `{"children":[{"name":"t","kind":"team","set":{"default_class":"none"}}]}`, `no class "none"`),
		Entry("preemptible only", `{"set":{"model":"m","preemptible":true},"children":[{"name":"c","kind":"class"}]}`, "needs repeatable"),
	)
})

var _ = Describe("Rebase", func() {
	base := func() settings.Tree { return parsed(small) }

	It("joins changes of different nodes", func() {
		mine := base().With("teams/b", weight(2))
		theirs := base().With("teams/c", weight(3))
		t, err := settings.Rebase(base(), mine, theirs)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Diff(base(), t)).To(HaveLen(2))
	})

	DescribeTable("refuses changes that touch each other",
		func(mine, theirs func(settings.Tree) settings.Tree) {
			_, err := settings.Rebase(base(), mine(base()), theirs(base()))
			Expect(codeOf(err)).To(Equal(result.SettingsConflict))
		},
		Entry("the same node",
			func(t settings.Tree) settings.Tree { return t.With("teams/a", weight(2)) },
			func(t settings.Tree) settings.Tree { return t.With("teams/a", weight(3)) }),
		Entry("a node below one that is removed",
			func(t settings.Tree) settings.Tree { return t.With("teams/b", weight(2)) },
			func(t settings.Tree) settings.Tree { return t.Without("teams") }),
		Entry("removing what another adds to",
			func(t settings.Tree) settings.Tree { return t.Without("teams") },
			func(t settings.Tree) settings.Tree { return t.With("teams/b", weight(2)) }),
	)
})

var _ = Describe("Version", func() {
	It("joins what it split", func() {
		t := parsed(small)
		for n := range 500 {
			t = t.With(fmt.Sprintf("teams/t%d", n), weight(n+1))
		}
		r, parts, err := settings.Split(t, settings.Root{Version: 3})
		Expect(err).NotTo(HaveOccurred())
		joined, err := settings.Join(r, parts)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Diff(t, joined)).To(BeEmpty())
	})

	It("shares all parts but one with the version before a change of one node", func() {
		t := parsed(small)
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
		r, parts, err := settings.Split(parsed(small), settings.Root{})
		Expect(err).NotTo(HaveOccurred())
		for h := range parts {
			parts[h] = []byte("{}")
		}
		_, err = settings.Join(r, parts)
		Expect(codeOf(err)).To(Equal(result.SettingsInvalid))
	})
})

func ExampleTree_Resolve() {
	t, err := settings.Parse([]byte(small))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(*t.Resolve("classes/chat").Tier, *t.Resolve("classes/tag").Tier, *t.Resolve("teams/a").Weight)
	// Output: 0 2 3
}
