package responsehead

import "errors"

// ErrStatus is the error of a head whose status is not a number from 100 to 999. ErrFieldName is
// that of a head with a line whose field name is empty or holds a byte that no name may hold (RFC
// 9110, section 5.1), or that continues the line before (RFC 9112, section 5.2).
var (
	ErrStatus    = errors.New("the response has no valid status")
	ErrFieldName = errors.New("the response has an invalid field name")
)
