// Package utility implements the utility algebra of alsched (sections 3.2 and 3.3 of its
// paper): the "n Choose k" leaf and its linear form over equivalence classes of
// machines, and the operators Min, Max, Sum, Scale and Barrier that combine them.
package utility

// Class is an equivalence class of machines, from 0 to 63. A scheduling cycle distinguishes
// only a few.
type Class uint

// Set is a set of classes, with one bit for each.
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

// Grant is the number of units that a job holds in each class.
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

// Choose is the n Choose k leaf. Its value is Utility if the grant has at least Units units in
// the classes of From, else 0.
type Choose struct {
	From    Set
	Units   int
	Utility float64
}

// Value returns the utility of a grant.
func (e Choose) Value(g Grant) float64 {
	if g.unitsIn(e.From) >= e.Units {
		return e.Utility
	}
	return 0
}

// Linear is the linear n Choose k leaf. Its value rises linearly with the units in the
// classes of From, up to Utility at Units units, and stays at Utility above that.
type Linear struct {
	From    Set
	Units   int
	Utility float64
}

// Value returns the utility of a grant.
func (e Linear) Value(g Grant) float64 {
	if e.Units <= 0 {
		return e.Utility
	}
	counted := min(g.unitsIn(e.From), e.Units)
	return e.Utility * float64(counted) / float64(e.Units)
}

// Min is the smallest value of its operands, or 0 if there are none.
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

// Max is the largest value of its operands, or 0 if none is above 0.
type Max []Expr

// Value returns the utility of a grant.
func (e Max) Value(g Grant) float64 {
	greatest := 0.0
	for _, operand := range e {
		greatest = max(greatest, operand.Value(g))
	}
	return greatest
}

// Sum adds the values of its operands.
type Sum []Expr

// Value returns the utility of a grant.
func (e Sum) Value(g Grant) float64 {
	sum := 0.0
	for _, operand := range e {
		sum += operand.Value(g)
	}
	return sum
}

// Scale multiplies the value of its operand by a factor.
type Scale struct {
	Factor  float64
	Operand Expr
}

// Value returns the utility of a grant.
func (e Scale) Value(g Grant) float64 { return e.Factor * e.Operand.Value(g) }

// Barrier is 0 while its operand's value is below Threshold, and that value otherwise.
type Barrier struct {
	Threshold float64
	Operand   Expr
}

// Value returns the utility of a grant.
func (e Barrier) Value(g Grant) float64 {
	if value := e.Operand.Value(g); value >= e.Threshold {
		return value
	}
	return 0
}

// Gain returns by how much one more unit of a class raises the utility of a grant. It
// leaves the grant unchanged.
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
