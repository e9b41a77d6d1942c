package duty

import (
	"context"
	"errors"
)

// Permit is the right to one act of a duty. Only a lease that is certainly held yields
// one. A function that carries out an act takes a permit as a parameter and checks it
// right before the act. The zero value permits nothing.
type Permit[D Duty] struct{ lease *Lease }

// PermitFor returns a permit for a duty, or an error that is ErrNotHeld.
func PermitFor[D Duty](l *Lease) (Permit[D], error) {
	p := Permit[D]{l}
	return p, p.Check()
}

// Name returns the name of the duty.
func (Permit[D]) Name() Name { return nameOf[D]() }

// Check returns nil if the act may be carried out now, else an error that is ErrNotHeld
// or ErrNoPermit.
func (p Permit[D]) Check() error {
	if p.lease == nil {
		return ErrNoPermit
	}
	if !p.lease.Held() {
		p.lease.emit(ActRefused, p.Name(), ErrNotHeld.Error())
		return p.lease.failure(ErrNotHeld)
	}
	return nil
}

// Token returns the fencing token under which the act is carried out; 0 if there is none.
func (p Permit[D]) Token() FencingToken {
	if p.lease == nil {
		return 0
	}
	return p.lease.Token()
}

// Do carries out an act with a context that ends before the lease can expire.
func (p Permit[D]) Do(ctx context.Context, act func(context.Context) error) error {
	if err := p.Check(); err != nil {
		return err
	}
	ctx, cancel := p.lease.Context(ctx)
	defer cancel()
	if err := act(ctx); err != nil {
		return err
	}
	p.lease.emit(ActAccepted, p.Name(), "")
	return nil
}

// Commit executes a transaction that fails unless this lease is held when it is executed,
// however late that is: the lease's key is one of its guards.
func (p Permit[D]) Commit(ctx context.Context, class RequestClass, txn Txn) (Revision, error) {
	if err := p.Check(); err != nil {
		return 0, err
	}
	candidate := p.lease.candidate
	guard := Guard{Key: candidate.Key, Revision: Revision(p.lease.Token())}
	txn.Guards = append([]Guard{guard}, txn.Guards...)
	revision, err := candidate.Store.Commit(ctx, class, txn)
	var conflict *ConflictError
	if errors.As(err, &conflict) && conflict.HasKey(candidate.Key) {
		p.lease.emit(ActRefused, p.Name(), "by the state service")
	}
	return revision, err
}
