package configuration

import "fmt"

func gapMessage(number, inForce uint64) string {
	return fmt.Sprintf("the note has number %d, the number in force is %d and the note accepted then is no longer kept", number, inForce)
}

func conflictMessage(number uint64, acceptedDigest, digest string) string {
	return fmt.Sprintf("number %d was accepted with digest %s, this note has %s", number, acceptedDigest, digest)
}
