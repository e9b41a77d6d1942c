package placement

import (
	"lilaclead/internal/utility"
)

// The two classes that a job's tree tells apart among the machines that its hard
// constraints allow: those whose heartbeats imply its image, and the rest.
const (
	withImage utility.Class = iota
	withoutImage
)

// taskTree returns the utility tree of one task: the better of the preferred branch and
// of the fallback over any fitting machine, each a linear leaf of one unit. A job's tree
// is the Sum over its tasks. One pair of leaves for the whole job would make the
// fallback worthless as soon as some units hold preferred machines, and tasks would
// wait where the design says they don't.
func taskTree(f UtilityFactors) utility.Expr {
	return utility.Max{
		utility.Scale{By: f.Preferred, Of: utility.Linear{From: utility.SetOf(withImage), K: 1, U: 1}},
		utility.Scale{By: f.Fallback, Of: utility.Linear{From: utility.SetOf(withImage, withoutImage), K: 1, U: 1}},
	}
}

// gangTree returns the utility tree of a gang: the better of the preferred branch and of
// the fallback, each an n Choose k leaf of its full count. It is zero until all of it
// fits.
func gangTree(f UtilityFactors, units int) utility.Expr {
	return utility.Max{
		utility.Scale{By: f.Preferred, Of: utility.Choose{From: utility.SetOf(withImage), K: units, U: float64(units)}},
		utility.Scale{By: f.Fallback, Of: utility.Choose{From: utility.SetOf(withImage, withoutImage), K: units, U: float64(units)}},
	}
}

// classGains is what a unit of a job gains in each class.
type classGains [2]float64

func (g classGains) most() float64 { return max(g[withImage], g[withoutImage]) }

// raisedBy returns the gains with the job's utility raised by a factor.
func (g classGains) raisedBy(factor float64) classGains {
	return classGains{g[withImage] * factor, g[withoutImage] * factor}
}

// taskGains returns the gains of one task of any array or service.
func taskGains(f UtilityFactors) classGains {
	tree := taskTree(f)
	return classGains{
		utility.Gain(tree, utility.Grant{}, withImage),
		utility.Gain(tree, utility.Grant{}, withoutImage),
	}
}

// gangGains returns the gains per unit of a gang whose utility is raised by a factor.
func gangGains(f UtilityFactors, units int, raise float64) classGains {
	tree := gangTree(f, units)
	return classGains{
		tree.Value(utility.Grant{withImage: units}) * raise / float64(units),
		tree.Value(utility.Grant{withoutImage: units}) * raise / float64(units),
	}
}

// utilityRaise returns the factor by which a job's weight and waiting time raise its
// utility.
func utilityRaise(j *Job, f UtilityFactors) float64 {
	return j.Weight * (1 + j.WaitedSeconds/max(1, f.WaitDoublingSeconds))
}
