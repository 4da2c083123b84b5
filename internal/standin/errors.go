package standin

import "github.com/zeebo/errs"

// Error is the class of the errors of this package.
var Error = errs.Class("standin")
