package admin

import (
	"testing"

	"github.com/glentiller/glentiller/internal/golden"
)

func TestAnswersToOperatorsKeepTheirJSON(t *testing.T) {
	golden.CheckJSON[Rows](t, "ledger")
	golden.CheckJSON[Stretches](t, "stretches")
	golden.CheckJSON[Shares](t, "shares")
	golden.CheckJSON[Member](t, "member")
	golden.CheckJSON[Verified](t, "verify")
	golden.CheckJSON[Problem](t, "error")
	for got, want := range map[string]string{
		LedgerPath: "/v1/ledger", VerifyPath: "/v1/ledger/verify", StretchesPath: "/v1/ledger/stretches", SharesPath: "/v1/shares",
		MemberPath: "/v1/member", JobsPath + "wk-000412" + explainEnd: "/v1/jobs/wk-000412/explain",
	} {
		if got != want {
			t.Errorf("path: got %s, want %s", got, want)
		}
	}
}
