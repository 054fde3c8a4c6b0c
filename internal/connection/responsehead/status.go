package responsehead

// minStatus and maxStatus bound the statuses of responses.
const minStatus, maxStatus = 100, 999

// CheckStatus checks the status of a response that was not read through a Scanner. Errors:
// ErrStatus.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return ErrStatus
	}
	return nil
}
