// Package utility implements the utility algebra of alsched (sections 3.2 and 3.3 of its
// paper): the "n Choose k" leaf and its linear form over equivalence classes of
// machines, and the operators Min, Max, Sum, Scale and Barrier that combine them.
package utility

// Class is an equivalence class of machines. A scheduling cycle tells few classes apart,
// so that a set of them is a bit set.
type Class uint

// Set is a set of classes.
type Set uint64

// SetOf returns the set of the classes.
func SetOf(classes ...Class) Set {
	var s Set
	for _, c := range classes {
		s |= 1 << c
	}
	return s
}

// Has reports whether the class is in the set.
func (s Set) Has(c Class) bool { return s&(1<<c) != 0 }

// Grant says how many units a job holds in each class.
type Grant map[Class]int

// unitsIn returns how many units are held in the classes of a set.
func (g Grant) unitsIn(s Set) int {
	total := 0
	for class, units := range g {
		if s.Has(class) {
			total += units
		}
	}
	return total
}

// Expr is a utility expression.
type Expr interface {
	// Value returns the utility of a grant.
	Value(Grant) float64
}

// Choose is the n Choose k leaf: it is U once K units come from the set, 0 before.
type Choose struct {
	From Set
	K    int
	U    float64
}

// Value returns the utility of a grant.
func (e Choose) Value(g Grant) float64 {
	if g.unitsIn(e.From) >= e.K {
		return e.U
	}
	return 0
}

// Linear is the linear n Choose k leaf: it rises to U at K units and stays there.
type Linear struct {
	From Set
	K    int
	U    float64
}

// Value returns the utility of a grant.
func (e Linear) Value(g Grant) float64 {
	if e.K <= 0 {
		return e.U
	}
	counted := min(g.unitsIn(e.From), e.K)
	return e.U * float64(counted) / float64(e.K)
}

// Min is the least of its operands, 0 without any.
type Min []Expr

// Value returns the utility of a grant.
func (e Min) Value(g Grant) float64 {
	if len(e) == 0 {
		return 0
	}
	least := e[0].Value(g)
	for _, operand := range e[1:] {
		least = min(least, operand.Value(g))
	}
	return least
}

// Max is the greatest of its operands, 0 if none is above that.
type Max []Expr

// Value returns the utility of a grant.
func (e Max) Value(g Grant) float64 {
	greatest := 0.0
	for _, operand := range e {
		greatest = max(greatest, operand.Value(g))
	}
	return greatest
}

// Sum is the sum of its operands.
type Sum []Expr

// Value returns the utility of a grant.
func (e Sum) Value(g Grant) float64 {
	sum := 0.0
	for _, operand := range e {
		sum += operand.Value(g)
	}
	return sum
}

// Scale multiplies its operand by a factor.
type Scale struct {
	By float64
	Of Expr
}

// Value returns the utility of a grant.
func (e Scale) Value(g Grant) float64 { return e.By * e.Of.Value(g) }

// Barrier is 0 until its operand reaches At, and then the operand's value.
type Barrier struct {
	At float64
	Of Expr
}

// Value returns the utility of a grant.
func (e Barrier) Value(g Grant) float64 {
	if value := e.Of.Value(g); value >= e.At {
		return value
	}
	return 0
}

// Gain returns what one more unit of a class adds to an expression. It leaves the grant
// as it was.
func Gain(e Expr, g Grant, c Class) float64 {
	before := e.Value(g)
	g[c]++
	after := e.Value(g)
	g[c]--
	if g[c] == 0 {
		delete(g, c)
	}
	return after - before
}
