package duty

import (
	"context"
	"errors"
)

// Permit is the right to carry out one act of a duty. Only a lease that is certainly held
// yields one. A function that carries out an act takes a permit as a parameter and checks
// it right before the act. The zero value permits nothing.
type Permit[D Duty] struct{ lease *Lease }

// PermitFor returns a permit for a duty. Its error is ErrNotHeld if the lease is not
// certainly held.
func PermitFor[D Duty](l *Lease) (Permit[D], error) {
	p := Permit[D]{l}
	return p, p.Check()
}

// Name returns the name of the duty.
func (Permit[D]) Name() Name { return nameOf[D]() }

// Check returns nil if the act may be carried out now. Its error is ErrNotHeld if the lease
// is not certainly held any more, or ErrNoPermit if the permit is the zero value.
func (p Permit[D]) Check() error {
	if p.lease == nil {
		return ErrNoPermit
	}
	if !p.lease.Held() {
		p.lease.emit(ActRefused, p.Name(), ErrNotHeld.Error())
		return p.lease.leaseError(ErrNotHeld)
	}
	return nil
}

// Token returns the fencing token to send with the act, or 0 if the permit is the zero
// value.
func (p Permit[D]) Token() FencingToken {
	if p.lease == nil {
		return 0
	}
	return p.lease.Token()
}

// Do checks the permit and calls act with a context that ends before the lease can expire.
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

// Commit checks the permit and executes a transaction with a guard on the lease's key. The
// transaction fails if the lease has another holder or token when the store executes it,
// however late that is.
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
