package version

import "github.com/teaselrack/teaselrack/internal/fault"

var importanceNames = [ImportanceCount]string{"critical", "high", "normal", "low"}

// String returns the name of the importance as it is written in notes.
func (i Importance) String() string {
	if !i.Valid() {
		return "invalid"
	}
	return importanceNames[i-Critical]
}

// Valid reports whether i is one of the four importances.
func (i Importance) Valid() bool { return i >= Critical && i <= Low }

// MarshalText returns the name of the importance.
func (i Importance) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText sets i from the name of an importance.
func (i *Importance) UnmarshalText(b []byte) error {
	for n, name := range importanceNames {
		if name == string(b) {
			*i = Critical + Importance(n)
			return nil
		}
	}
	return fault.New(fault.NoteInvalid, "must be critical, high, normal or low, not %q", b)
}
