package fault

import (
	"errors"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("teaselrack")
	types     = buildTypes()
	kindOf    = errorx.RegisterProperty("kind")
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

// New returns an error of kind k with a formatted message. The message reaches
// callers: it must hold no key and no address that a caller should not know.
func New(k Kind, format string, args ...any) error {
	return typeFor(k).New(format, args...).WithProperty(kindOf, k)
}

// Wrap returns an error of kind k with cause as its reason.
func Wrap(k Kind, cause error, format string, args ...any) error {
	return typeFor(k).Wrap(cause, format, args...).WithProperty(kindOf, k)
}

// KindOf returns the kind of the outermost error that has one, and Internal
// for any other error. KindOf(nil) is the empty kind.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var e *errorx.Error
	if !errors.As(err, &e) {
		return Internal
	}
	v, ok := e.Property(kindOf)
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

// OutcomeOf returns what err says about whether the request ran.
func OutcomeOf(err error) Outcome {
	return AnswerFor(KindOf(err)).Outcome
}

// Message returns the text of err without the chain of its causes, fit for a
// caller to read.
func Message(err error) string {
	var e *errorx.Error
	if errors.As(err, &e) && e.Message() != "" {
		return e.Message()
	}
	return string(KindOf(err))
}

// MayHaveRun returns the error of a request of which an earlier attempt may have
// run: what is not known to have run then must not be said to be not run.
func MayHaveRun(err error) error {
	if OutcomeOf(err) != NotRun {
		return err
	}
	return Wrap(ConnectionLost, err, "a target may have run the request before: %s", Message(err))
}
