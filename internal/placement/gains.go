package placement

import (
	"lilaclead/internal/utility"
)

// The classes that a job's utility tree distinguishes among the machines that its hard
// constraints allow: those known to have its image, according to their heartbeats, and
// the rest.
const (
	withImage utility.Class = iota
	withoutImage
)

// taskTree returns the utility tree of one task: the Max of the preferred branch and of
// the fallback over any fitting machine. Each branch is a linear leaf of one unit. A job's
// tree is the Sum over its tasks. With one pair of leaves for the whole job, the fallback
// would add nothing once some units have preferred machines, and the other tasks would
// wait for preferred machines instead of using the fallback.
func taskTree(f UtilityFactors) utility.Expr {
	return utility.Max{
		utility.Scale{Factor: f.Preferred, Operand: utility.Linear{From: utility.SetOf(withImage), Units: 1, Utility: 1}},
		utility.Scale{Factor: f.Fallback, Operand: utility.Linear{From: utility.SetOf(withImage, withoutImage), Units: 1, Utility: 1}},
	}
}

// gangTree returns the utility tree of a gang: the Max of the preferred branch and of the
// fallback. Each branch is an n Choose k leaf with all units of the gang as k, so that the
// utility is 0 until all of them fit.
func gangTree(f UtilityFactors, units int) utility.Expr {
	return utility.Max{
		utility.Scale{Factor: f.Preferred, Operand: utility.Choose{From: utility.SetOf(withImage), Units: units, Utility: float64(units)}},
		utility.Scale{Factor: f.Fallback, Operand: utility.Choose{From: utility.SetOf(withImage, withoutImage), Units: units, Utility: float64(units)}},
	}
}

// classGains is the utility that a unit of a job gains on a machine of each class.
type classGains [2]float64

func (g classGains) largest() float64 { return max(g[withImage], g[withoutImage]) }

func (g classGains) multipliedBy(factor float64) classGains {
	return classGains{g[withImage] * factor, g[withoutImage] * factor}
}

// taskGains returns the gains of one task of an array or a service, before the job's weight
// and waiting time are applied.
func taskGains(f UtilityFactors) classGains {
	tree := taskTree(f)
	return classGains{
		utility.Gain(tree, utility.Grant{}, withImage),
		utility.Gain(tree, utility.Grant{}, withoutImage),
	}
}

// gangGains returns the gains per unit of a gang whose utility is multiplied by multiplier.
func gangGains(f UtilityFactors, units int, multiplier float64) classGains {
	tree := gangTree(f, units)
	return classGains{
		tree.Value(utility.Grant{withImage: units}) * multiplier / float64(units),
		tree.Value(utility.Grant{withoutImage: units}) * multiplier / float64(units),
	}
}

// utilityMultiplier returns the factor for a job's utility that follows from its weight and
// waiting time.
func utilityMultiplier(j *Job, f UtilityFactors) float64 {
	return j.Weight * (1 + j.WaitedSeconds/max(1, f.WaitDoublingSeconds))
}
