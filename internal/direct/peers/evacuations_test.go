package peers_test

import (
	"foxcross.dev/foxcross/internal/direct/driver"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("evacuations", func() {
	It("reach all data centres and a peer that starts later", func() {
		all := startFleet(3, 3)
		all[1].directory.ApplyEvacuations(driver.Evacuations{Revision: 7, DataCentres: []string{"dc-2"}}, "test")
		all = append(all, startPeerIn("dc-1", "late", "", 99, all[0].group.Address()))
		for _, e := range all {
			Eventually(func() driver.Evacuations { return e.directory.Evacuations() }).
				Should(Equal(driver.Evacuations{Revision: 7, DataCentres: []string{"dc-2"}}))
		}
		all[8].directory.ApplyEvacuations(driver.Evacuations{Revision: 9}, "test")
		for _, e := range all {
			Eventually(func() uint64 { return e.directory.Evacuations().Revision }).Should(BeEquivalentTo(9))
			Expect(e.directory.Evacuations().DataCentres).To(BeEmpty())
		}
	})
})
