package configfeed

import "errors"

// ErrOutOfReach is the error for a version that a log does not hold: it is older than the log's base or was never there.
var ErrOutOfReach = errors.New("the log holds no such revision")
