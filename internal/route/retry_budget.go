package route

import "time"

const (
	minRetriesPerSecond = 1.0 // earned each second, even if no request succeeds
	maxRetryBalance     = 20  // retries that can be saved up
	initialRetryBalance = maxRetryBalance / 2
)

// retryBudget bounds the retries of the process to a fraction of the requests that succeed plus a minimum rate, like
// the retry budgets of Finagle. Without it, each request that a failing member receives could become two requests
// to other members. The router's mutex guards it.
type retryBudget struct {
	ratio      float64   // retries earned by each success
	balance    float64   // retries available
	refilledAt time.Time // time of the last refill; zero before the first one
}

// refill adds the retries earned by the time that has passed since the last refill.
func (b *retryBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		earned := minRetriesPerSecond * max(now.Sub(b.refilledAt).Seconds(), 0)
		b.balance = min(b.balance+earned, maxRetryBalance)
	}
	b.refilledAt = now
}

// deposit adds the retries earned by one success.
func (b *retryBudget) deposit(now time.Time) {
	b.refill(now)
	b.balance = min(b.balance+b.ratio, maxRetryBalance)
}

// withdraw takes one retry from the budget. It returns false if none is available.
func (b *retryBudget) withdraw(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
