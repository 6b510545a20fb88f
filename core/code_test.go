package core_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/core"
)

// Guards against a code without a class, and against a code that is listed twice: a caller could take an unknown outcome
// for "not run".
func TestCodesHaveOneClass(t *testing.T) {
	g := NewWithT(t)
	seen := map[core.Code]bool{}
	for _, c := range core.Codes {
		g.Expect(seen[c.Code]).To(BeFalse(), "code %d is listed twice", c.Code)
		seen[c.Code] = true
		g.Expect(c.Code.Class()).To(BeElementOf(core.ClassNotRun, core.ClassFailed, core.ClassUnknown))
		g.Expect(c.Status).To(BeNumerically(">=", 400))
		g.Expect(c.Name).NotTo(BeEmpty())
	}
}

func ExampleCode_Class() {
	fmt.Println(core.CodeOverloaded.Class(), core.CodeTruncated.Class(), core.CodeOutcomeUnknown.Class())
	// Output: not run failed unknown
}

func ExampleErrorf() {
	fmt.Println(core.Errorf(core.CodeOverloaded, "pool %s", "drafting"))
	// Output: 1101 overloaded: pool drafting
}
