package duty

import (
	"context"
	"errors"
)

// Permit is the right to one act of a duty. Only a lease that is surely held gives
// one; whoever carries out the act asks for one as a parameter and checks it right
// before the act.
type Permit[D Duty] struct{ lease *Lease }

// PermitFor gives a permit for a duty, or ErrNotHeld.
func PermitFor[D Duty](l *Lease) (Permit[D], error) {
	p := Permit[D]{l}
	return p, p.Check()
}

// Name of the duty.
func (Permit[D]) Name() Name { return nameOf[D]() }

// Check tells whether the act may be carried out now: nil, ErrNotHeld or ErrNoPermit.
func (p Permit[D]) Check() error {
	if p.lease == nil {
		return ErrNoPermit
	}
	if !p.lease.Held() {
		p.lease.event(Refused, p.Name(), ErrNotHeld.Error())
		return ErrNotHeld
	}
	return nil
}

// Token under which the act is carried out; 0: none.
func (p Permit[D]) Token() FencingToken {
	if p.lease == nil {
		return 0
	}
	return p.lease.Token()
}

// Do carries out an act with a context that ends before the lease can have.
func (p Permit[D]) Do(ctx context.Context, act func(context.Context) error) error {
	if err := p.Check(); err != nil {
		return err
	}
	ctx, cancel := p.lease.Context(ctx)
	defer cancel()
	err := act(ctx)
	if err == nil {
		p.lease.event(Accepted, p.Name(), "")
	}
	return err
}

// Commit executes a transaction that fails unless this lease is held when it is
// executed, however late that is: the lease's key is one of its guards.
func (p Permit[D]) Commit(ctx context.Context, class RequestClass, txn Txn) (Revision, error) {
	if err := p.Check(); err != nil {
		return 0, err
	}
	key := p.lease.candidate.Key
	guard := Guard{Key: key, Revision: Revision(p.lease.Token())}
	txn.Guards = append([]Guard{guard}, txn.Guards...)
	revision, err := p.lease.candidate.Store.Commit(ctx, class, txn)
	var conflict *ConflictError
	if errors.As(err, &conflict) && conflict.Has(key) {
		p.lease.event(Refused, p.Name(), "by the state service")
	}
	return revision, err
}
