package utility

import (
	"maps"
	"testing"
)

// The leaves and operators have the values that section 3 of the alsched paper defines.
func TestExpressionValuesMatchPaper(t *testing.T) {
	grant := Grant{0: 2, 1: 1}
	firstClass, bothClasses := SetOf(0), SetOf(0, 1)
	for _, c := range []struct {
		name string
		expr Expr
		want float64
	}{
		{"n Choose k below k", Choose{firstClass, 3, 5}, 0},
		{"n Choose k at k", Choose{bothClasses, 3, 5}, 5},
		{"linear below k", Linear{firstClass, 4, 8}, 4},
		{"linear above k", Linear{bothClasses, 2, 8}, 8},
		{"linear with k of 0", Linear{firstClass, 0, 8}, 8},
		{"min", Min{Choose{bothClasses, 3, 5}, Linear{firstClass, 4, 8}}, 4},
		{"min of nothing", Min{}, 0},
		{"max", Max{Choose{firstClass, 3, 5}, Linear{firstClass, 4, 8}}, 4},
		{"max of nothing", Max{}, 0},
		{"sum", Sum{Choose{bothClasses, 3, 5}, Linear{firstClass, 4, 8}}, 9},
		{"scale", Scale{0.5, Linear{bothClasses, 2, 8}}, 4},
		{"barrier below its threshold", Barrier{5, Linear{firstClass, 4, 8}}, 0},
		{"barrier at its threshold", Barrier{4, Linear{firstClass, 4, 8}}, 4},
		{"figure 3: k on one rack, else anywhere", Max{Choose{firstClass, 3, 2}, Choose{bothClasses, 3, 1}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.expr.Value(grant); got != c.want {
				t.Errorf("value of %+v for grant %v: %g, want %g", c.expr, grant, got, c.want)
			}
		})
	}
}

func TestGainLeavesGrantUnchanged(t *testing.T) {
	for _, c := range []struct {
		name  string
		class Class
		want  float64
	}{
		{"class that reaches k", 0, 5},
		{"class outside the set", 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			grant := Grant{0: 2, 1: 1}
			got := Gain(Choose{SetOf(0), 3, 5}, grant, c.class)
			if unchanged := (Grant{0: 2, 1: 1}); got != c.want || !maps.Equal(grant, unchanged) {
				t.Errorf("class %d: gain %g, grant after it %v, want %g and %v", c.class, got, grant, c.want, unchanged)
			}
		})
	}
}
