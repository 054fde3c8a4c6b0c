package fault

import (
	"errors"

	"github.com/joomcode/errorx"
)

var (
	namespace    = errorx.NewNamespace("teaselrack")
	types        = buildTypes()
	kindProperty = errorx.RegisterProperty("kind")
)

func buildTypes() map[Kind]*errorx.Type {
	m := make(map[Kind]*errorx.Type, len(table))
	for k := range table {
		m[k] = namespace.NewType(string(k)).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	}
	return m
}

func typeFor(k Kind) *errorx.Type {
	t, ok := types[k]
	if !ok {
		return types[Internal]
	}
	return t
}

// New returns an error of kind k with a formatted message. The message is sent to
// callers: it must not contain a key, nor an address that a caller should not
// know.
func New(k Kind, format string, args ...any) error {
	return typeFor(k).New(format, args...).WithProperty(kindProperty, k)
}

// Wrap returns an error of kind k that is caused by cause. The formatted message
// is sent to callers, as that of New.
func Wrap(k Kind, cause error, format string, args ...any) error {
	return typeFor(k).Wrap(cause, format, args...).WithProperty(kindProperty, k)
}

// KindOf returns the kind of the outermost error in the chain that has a kind, and
// Internal where none has. KindOf(nil) is the empty kind.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var e *errorx.Error
	if !errors.As(err, &e) {
		return Internal
	}
	v, ok := e.Property(kindProperty)
	if !ok {
		return Internal
	}
	k, ok := v.(Kind)
	if !ok {
		return Internal
	}
	return k
}

// Is reports whether err has kind k.
func Is(err error, k Kind) bool {
	return err != nil && KindOf(err) == k
}

// OutcomeOf returns the outcome of the kind of err: whether the request ran.
func OutcomeOf(err error) Outcome {
	return ResponseFor(KindOf(err)).Outcome
}

// Message returns the message of err without the chain of its causes, for the
// caller.
func Message(err error) string {
	var e *errorx.Error
	if errors.As(err, &e) && e.Message() != "" {
		return e.Message()
	}
	return string(KindOf(err))
}

// MayHaveRun returns the error for a request of which an earlier attempt may have
// run. It replaces an err with the outcome NotRun by a ConnectionLost error, whose
// outcome is Unknown, and returns any other err as it is.
func MayHaveRun(err error) error {
	if OutcomeOf(err) != NotRun {
		return err
	}
	return Wrap(ConnectionLost, err, "an earlier attempt may have run the request: %s", Message(err))
}
