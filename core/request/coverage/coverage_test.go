package coverage_test

import (
	"fmt"

	"github.com/mulberrydale/mulberrydale/core/request/coverage"
)

func ExampleNew() {
	c := coverage.New(15, []coverage.Missing{coverage.NewMissing("tilaajat-03", coverage.Late)})
	fmt.Println(c.Answered(), "of", c.Asked(), c.Missing()[0].Service(), c.Missing()[0].Reason())
	// Output: 14 of 15 tilaajat-03 late
}
