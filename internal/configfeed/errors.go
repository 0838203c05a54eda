package configfeed

import "errors"

// ErrRevisionNotFound is the error for a version that a log does not hold: it is older than the log's base or was never there.
var ErrRevisionNotFound = errors.New("the log holds no such revision")
