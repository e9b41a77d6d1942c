package utility

import "testing"

// The leaves and operators as the paper's section 3 describes them.
func TestAlgebra(t *testing.T) {
	g := Grant{0: 2, 1: 1}
	a, b := SetOf(0), SetOf(0, 1)
	cases := []struct {
		name string
		e    Expr
		want float64
	}{
		{"nCk below k", Choose{a, 3, 5}, 0},
		{"nCk at k", Choose{b, 3, 5}, 5},
		{"linear below k", Linear{a, 4, 8}, 4},
		{"linear above k", Linear{b, 2, 8}, 8},
		{"min", Min{Choose{b, 3, 5}, Linear{a, 4, 8}}, 4},
		{"max", Max{Choose{a, 3, 5}, Linear{a, 4, 8}}, 4},
		{"sum", Sum{Choose{b, 3, 5}, Linear{a, 4, 8}}, 9},
		{"scale", Scale{0.5, Linear{b, 2, 8}}, 4},
		{"barrier below", Barrier{5, Linear{a, 4, 8}}, 0},
		{"barrier at", Barrier{4, Linear{a, 4, 8}}, 4},
		{"figure 3: k on one rack, else anywhere", Max{Choose{a, 3, 2}, Choose{b, 3, 1}}, 1},
	}
	for _, c := range cases {
		if got := c.e.Value(g); got != c.want {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
	if got := Gain(Choose{a, 3, 5}, g, 0); got != 5 || g[0] != 2 {
		t.Errorf("gain %g, grant after it %v", got, g)
	}
}
