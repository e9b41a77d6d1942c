package scaling

import (
	"math/rand/v2"
	"time"
)

const (
	// partlyFilledBackoff is the backoff of an offer that provided fewer machines than
	// were requested.
	partlyFilledBackoff = 8 * time.Second
	// The backoff of an offer doubles with each refusal, from minOfferBackoff to
	// maxOfferBackoff.
	minOfferBackoff = 5 * time.Second
	maxOfferBackoff = 40 * time.Second
	// The pause of all scale-out requests doubles while the cloud is unavailable, from
	// minPause to maxPause.
	minPause = 500 * time.Millisecond
	maxPause = 5 * time.Second
)

// offerBackoff is the backoff of one offer after it was refused or partly filled.
type offerBackoff struct {
	until time.Time
	delay time.Duration // the last backoff without jitter; 0 after a reset
}

// reset makes the next refusal begin with minOfferBackoff again. It does not end the present
// backoff.
func (b *offerBackoff) reset() { b.delay = 0 }

// backOffAfterPartialFill backs off from an offer that provided fewer machines than were
// requested, and returns for how long.
func (b *offerBackoff) backOffAfterPartialFill(now time.Time) time.Duration {
	b.delay = partlyFilledBackoff
	b.until = now.Add(b.delay)
	return b.delay
}

// backOffAfterRefusal backs off from an offer that was refused, and returns for how long at
// least: up to a quarter is added at random.
func (b *offerBackoff) backOffAfterRefusal(now time.Time) time.Duration {
	b.delay = min(max(minOfferBackoff, b.delay*2), maxOfferBackoff)
	b.until = now.Add(b.delay + rand.N(b.delay/4))
	return b.delay
}

// cloudPause is the pause of all scale-out requests while the cloud is busy or down.
type cloudPause struct {
	until time.Time
	delay time.Duration // the last pause without jitter; 0 after a reset
}

func (p *cloudPause) active(now time.Time) bool { return now.Before(p.until) }

// reset makes the next pause begin with minPause again. It does not end the present pause.
func (p *cloudPause) reset() { p.delay = 0 }

// extend begins a pause of twice the last one, from minPause to maxPause, and returns its
// duration without the jitter, which can double it.
func (p *cloudPause) extend(now time.Time) time.Duration {
	p.delay = min(max(minPause, p.delay*2), maxPause)
	p.until = now.Add(p.delay + rand.N(p.delay))
	return p.delay
}
