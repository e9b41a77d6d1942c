package scaling

import (
	"math/rand/v2"
	"time"
)

const (
	// partlyFilledBackoff is the backoff of an offer that provided fewer machines than
	// were requested.
	partlyFilledBackoff = 8 * time.Second
	// The backoff of an offer without capacity doubles with each refusal, within these.
	minOfferBackoff = 5 * time.Second
	maxOfferBackoff = 40 * time.Second
	// The pause of all requests doubles while the cloud is unavailable, within these.
	minPause = 500 * time.Millisecond
	maxPause = 5 * time.Second
)

// offerBackoff is the backoff of one offer after it was refused.
type offerBackoff struct {
	until time.Time
	delay time.Duration
}

// reset sets the next delay to the shortest.
func (b *offerBackoff) reset() { b.delay = 0 }

// partlyFilled backs off from an offer that is nearly exhausted, and returns for how long.
func (b *offerBackoff) partlyFilled(now time.Time) time.Duration {
	b.delay = partlyFilledBackoff
	b.until = now.Add(b.delay)
	return b.delay
}

// refused backs off from an offer without capacity, and returns for how long at least.
func (b *offerBackoff) refused(now time.Time) time.Duration {
	b.delay = min(max(minOfferBackoff, b.delay*2), maxOfferBackoff)
	b.until = now.Add(b.delay + rand.N(b.delay/4))
	return b.delay
}

// cloudPause is the pause of all requests while the cloud is busy or down.
type cloudPause struct {
	until time.Time
	delay time.Duration
}

// active reports whether the pause lasts.
func (p *cloudPause) active(now time.Time) bool { return now.Before(p.until) }

// reset sets the next delay to the shortest.
func (p *cloudPause) reset() { p.delay = 0 }

// extend begins a pause that is longer than the last one, and returns its least duration.
func (p *cloudPause) extend(now time.Time) time.Duration {
	p.delay = min(max(minPause, p.delay*2), maxPause)
	p.until = now.Add(p.delay + rand.N(p.delay))
	return p.delay
}
