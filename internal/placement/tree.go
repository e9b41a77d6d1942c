package placement

import (
	"lilaclead/internal/utility"
)

// The two classes that a job's tree tells apart among the machines that its
// hard constraints allow: those whose reports imply its image, and the rest.
const (
	withImage utility.Class = iota
	without
)

// TaskTree is the utility tree of one task: the better of the preferred branch
// and of the fallback over any fitting machine, each a linear leaf of one
// unit. A job's tree is the Sum over its tasks. One pair of leaves for the
// whole job would make the fallback worthless as soon as some units hold
// preferred machines, and tasks would wait where the design says they don't.
func TaskTree(f Factors) utility.Expr {
	return utility.Max{
		utility.Scale{By: f.Preferred, Of: utility.Linear{From: utility.SetOf(withImage), K: 1, U: 1}},
		utility.Scale{By: f.Fallback, Of: utility.Linear{From: utility.SetOf(withImage, without), K: 1, U: 1}},
	}
}

// GangTree is the utility tree of a gang: the better of the preferred branch and of
// the fallback, each an n Choose k leaf of its full count. It reads zero until all
// of it fits.
func GangTree(f Factors, n int) utility.Expr {
	return utility.Max{
		utility.Scale{By: f.Preferred, Of: utility.Choose{From: utility.SetOf(withImage), K: n, U: float64(n)}},
		utility.Scale{By: f.Fallback, Of: utility.Choose{From: utility.SetOf(withImage, without), K: n, U: float64(n)}},
	}
}
