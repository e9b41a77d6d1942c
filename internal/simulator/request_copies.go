package simulator

import (
	"math/rand/v2"
	"net/http/httptest"
	"time"

	"lilaclead/internal/wire"
)

// RequestCopies counts the requests to the key-value store and to the cloud that were executed and
// answered and then arrived again, and what the copies did.
type RequestCopies struct {
	Transactions        int      // copies of transactions that change keys
	RepeatedKeys        []string // keys that such copies have changed
	Grants              int      // copies that created a further grant
	Renewals            int      // copies of renewals
	RenewedGrants       int      // of these, those that renewed a grant
	Revocations         int      // copies of revocations
	RevokedGrants       int      // of these, those that ended a grant
	ScaleOuts           int      // copies of scale-outs
	ProvisionedMachines int      // machines that they provisioned
	ScaleIns            int      // copies of scale-ins
	RemovedMachines     int      // machines that they removed
}

// requestCopies delivers requests again. The lock of the store or of the simulation to which it
// belongs guards it.
type requestCopies struct {
	rng                *rand.Rand
	share              float64
	minDelay, maxDelay time.Duration
	counts             RequestCopies
}

// newRequestCopies returns the copies of a share of requests, which arrive after a delay from
// minDelay to maxDelay. Each stream of a seed draws others.
func newRequestCopies(seed, stream uint64, share float64, minDelay, maxDelay time.Duration) requestCopies {
	return requestCopies{rng: rand.New(rand.NewPCG(seed, stream)), share: share, minDelay: minDelay, maxDelay: maxDelay}
}

// CopyRequests makes the network deliver a share of the requests to the key-value store and the
// cloud again, after a delay from minDelay to maxDelay. Renewals of grants are left out, see
// CopyRenewals.
func (sim *Simulation) CopyRequests(seed uint64, share float64, minDelay, maxDelay time.Duration) {
	const storeStream, cloudStream = 12, 13
	sim.State.mu.Lock()
	sim.State.copies = newRequestCopies(seed, storeStream, share, minDelay, maxDelay)
	sim.State.mu.Unlock()
	set(sim, &sim.requestCopies, newRequestCopies(seed, cloudStream, share, minDelay, maxDelay))
}

// CopyRenewals is CopyRequests for renewals of grants.
func (sim *Simulation) CopyRenewals(seed uint64, share float64, minDelay, maxDelay time.Duration) {
	const renewalStream = 14
	sim.State.mu.Lock()
	defer sim.State.mu.Unlock()
	sim.State.renewalCopies = newRequestCopies(seed, renewalStream, share, minDelay, maxDelay)
}

// CopiedRequests returns what the copies have done so far.
func (sim *Simulation) CopiedRequests() RequestCopies {
	sim.mu.Lock()
	counts := sim.requestCopies.counts
	sim.mu.Unlock()
	sim.State.mu.Lock()
	defer sim.State.mu.Unlock()
	stored, renewals := sim.State.copies.counts, sim.State.renewalCopies.counts
	stored.Renewals, stored.RenewedGrants = renewals.Renewals, renewals.RenewedGrants
	stored.ScaleOuts, stored.ProvisionedMachines = counts.ScaleOuts, counts.ProvisionedMachines
	stored.ScaleIns, stored.RemovedMachines = counts.ScaleIns, counts.RemovedMachines
	return stored
}

// schedule calls deliver after a delay if a copy of the present request is to be delivered.
func (c *requestCopies) schedule(deliver func()) {
	if c.share == 0 || c.rng.Float64() >= c.share {
		return
	}
	delay := c.minDelay + time.Duration(c.rng.Float64()*float64(c.maxDelay-c.minDelay))
	time.AfterFunc(delay, deliver)
}

// copyTxn delivers a transaction again that was executed; the caller holds the lock.
func (s *KVStore) copyTxn(from string, t *wire.Txn) {
	s.copies.schedule(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		before := s.revision
		s.execute(from, t)
		s.copies.counts.Transactions++
		if s.revision > before {
			s.copies.counts.RepeatedKeys = append(s.copies.counts.RepeatedKeys, keysOf(t)...)
		}
	})
}

// copyGrant delivers the creation of a grant again; the caller holds the lock.
func (s *KVStore) copyGrant(ttl time.Duration) {
	s.copies.schedule(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.createGrant(ttl)
		s.copies.counts.Grants++
	})
}

// copyRenewal delivers the renewal of a grant again; the caller holds the lock.
func (s *KVStore) copyRenewal(id wire.GrantID) {
	s.renewalCopies.schedule(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		s.renewalCopies.counts.Renewals++
		if grant := s.grants[id]; grant != nil {
			grant.expiresAt = time.Now().Add(grant.ttl)
			s.renewalCopies.counts.RenewedGrants++
		}
	})
}

// copyRevocation delivers the revocation of a grant again; the caller holds the lock.
func (s *KVStore) copyRevocation(id wire.GrantID) {
	s.copies.schedule(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.copies.counts.Revocations++
		if s.grants[id] != nil {
			s.endGrant(id)
			s.copies.counts.RevokedGrants++
		}
	})
}

// copyScaleOut delivers a scale-out again; the caller holds the lock.
func (sim *Simulation) copyScaleOut(raw []byte) {
	sim.requestCopies.schedule(func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if sim.ctx.Err() != nil {
			return
		}
		before := sim.provisionedCount
		sim.scaleOut(httptest.NewRecorder(), raw)
		sim.requestCopies.counts.ScaleOuts++
		sim.requestCopies.counts.ProvisionedMachines += sim.provisionedCount - before
	})
}

// copyScaleIn delivers a scale-in again; the caller holds the lock.
func (sim *Simulation) copyScaleIn(raw []byte) {
	sim.requestCopies.schedule(func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if sim.ctx.Err() != nil {
			return
		}
		before := len(sim.machines)
		sim.scaleIn(raw)
		sim.requestCopies.counts.ScaleIns++
		sim.requestCopies.counts.RemovedMachines += before - len(sim.machines)
	})
}
