package route

import "time"

const (
	minRetriesPerSecond = 1.0 // allowed whatever succeeds
	maxSavedRetries     = 20
	initialRetries      = maxSavedRetries / 2
)

// retryBudget bounds the retries of the whole process by a fraction of the requests
// that succeed, and a few a second in any case (retry budgets; Finagle). Without it, a
// failing member would turn each request into two for the others. The router's mutex
// guards it.
type retryBudget struct {
	ratio      float64 // retries earned by each success
	balance    float64
	refilledAt time.Time
}

// refill adds the retries that are allowed for the time that has passed.
func (b *retryBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		earned := minRetriesPerSecond * max(now.Sub(b.refilledAt).Seconds(), 0)
		b.balance = min(b.balance+earned, maxSavedRetries)
	}
	b.refilledAt = now
}

// deposit adds what one success earns.
func (b *retryBudget) deposit(now time.Time) {
	b.refill(now)
	b.balance = min(b.balance+b.ratio, maxSavedRetries)
}

// withdraw takes one retry out of the budget, if there is one.
func (b *retryBudget) withdraw(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
