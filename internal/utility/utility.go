// Package utility is the paper's algebra (alsched, sections 3.2 and 3.3): the
// "n Choose k" leaf and its linear form over equivalence classes, and the
// operators Min, Max, Sum, Scale and Barrier that combine them.
package utility

// Class is an equivalence class of machines. A leaf's set of classes is a
// bit set: what one round tells apart is little.
type Class uint

// Set is a set of classes.
type Set uint64

// SetOf makes a set.
func SetOf(cs ...Class) Set {
	var s Set
	for _, c := range cs {
		s |= 1 << c
	}
	return s
}

// Has tells whether the class is in the set.
func (s Set) Has(c Class) bool { return s&(1<<c) != 0 }

// Grant says how many units a job holds in each class.
type Grant map[Class]int

// in counts the units held within a set.
func (g Grant) in(s Set) int {
	n := 0
	for c, k := range g {
		if s.Has(c) {
			n += k
		}
	}
	return n
}

// Expr is a utility expression.
type Expr interface {
	// Value of a grant.
	Value(Grant) float64
}

// Choose is the n Choose k leaf: U once K units come from the set, 0 before.
type Choose struct {
	From Set
	K    int
	U    float64
}

// Value implements Expr.
func (e Choose) Value(g Grant) float64 {
	if g.in(e.From) >= e.K {
		return e.U
	}
	return 0
}

// Linear is the linear n Choose k leaf: rising to U at K units, then held.
type Linear struct {
	From Set
	K    int
	U    float64
}

// Value implements Expr.
func (e Linear) Value(g Grant) float64 {
	if e.K <= 0 {
		return e.U
	}
	return e.U * float64(min(g.in(e.From), e.K)) / float64(e.K)
}

// Min is the least of its parts.
type Min []Expr

// Value implements Expr.
func (e Min) Value(g Grant) float64 {
	if len(e) == 0 {
		return 0
	}
	v := e[0].Value(g)
	for _, x := range e[1:] {
		v = min(v, x.Value(g))
	}
	return v
}

// Max is the greatest of its parts.
type Max []Expr

// Value implements Expr.
func (e Max) Value(g Grant) float64 {
	v := 0.0
	for _, x := range e {
		v = max(v, x.Value(g))
	}
	return v
}

// Sum adds its parts.
type Sum []Expr

// Value implements Expr.
func (e Sum) Value(g Grant) float64 {
	v := 0.0
	for _, x := range e {
		v += x.Value(g)
	}
	return v
}

// Scale multiplies by a factor.
type Scale struct {
	By float64
	Of Expr
}

// Value implements Expr.
func (e Scale) Value(g Grant) float64 { return e.By * e.Of.Value(g) }

// Barrier is 0 until its part reaches At, and then the part's value.
type Barrier struct {
	At float64
	Of Expr
}

// Value implements Expr.
func (e Barrier) Value(g Grant) float64 {
	if v := e.Of.Value(g); v >= e.At {
		return v
	}
	return 0
}

// Gain is what one more unit of a class adds to an expression.
func Gain(e Expr, g Grant, c Class) float64 {
	before := e.Value(g)
	g[c]++
	after := e.Value(g)
	if g[c]--; g[c] == 0 {
		delete(g, c)
	}
	return after - before
}
