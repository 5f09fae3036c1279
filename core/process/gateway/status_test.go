package gateway

import (
	"fmt"

	"github.com/mulberrydale/mulberrydale/core/result"
)

func Example_httpStatus() {
	for _, code := range []result.Code{result.Overloaded, result.OutcomeUnknown, result.TimedOut, result.UnknownQuery, result.OverQuota, result.Unconfirmed} {
		fmt.Println(code, httpStatus(code))
	}
	// Output:
	// overloaded 503
	// outcome-unknown 502
	// timed-out 504
	// unknown-query 404
	// over-quota 429
	// unconfirmed 503
}
