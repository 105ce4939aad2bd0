package admin

import (
	"testing"

	"github.com/glentiller/glentiller/internal/golden"
)

func TestAnswersToOperatorsKeepTheirJSON(t *testing.T) {
	golden.CheckJSON[EntryPage](t, "ledger")
	golden.CheckJSON[IntervalPage](t, "stretches")
	golden.CheckJSON[FairShares](t, "shares")
	golden.CheckJSON[MemberStatus](t, "member")
	golden.CheckJSON[Verification](t, "verify")
	golden.CheckJSON[ErrorResponse](t, "error")
	for got, want := range map[string]string{
		LedgerPath:     "/v1/ledger",
		VerifyPath:     "/v1/ledger/verify",
		IntervalsPath:  "/v1/ledger/stretches",
		FairSharesPath: "/v1/shares",
		MemberPath:     "/v1/member",

		JobsPath + "wk-000412" + explainSuffix: "/v1/jobs/wk-000412/explain",
	} {
		if got != want {
			t.Errorf("path: got %s, want %s", got, want)
		}
	}
}
