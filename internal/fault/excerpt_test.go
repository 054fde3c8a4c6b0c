package fault

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestExcerpt(t *testing.T) {
	for text, want := range map[string]string{
		"":                         "",
		"short":                    "short",
		"ten bytes!":               "ten bytes!",
		"eleven byte":              "eleven byt...",
		"a\xffb":                   "ab",
		"ninebytesäx":              "ninebytes...",
		strings.Repeat("x", 1<<20): "xxxxxxxxxx...",
	} {
		must.Eq(t, want, Excerpt(text, 10))
	}
}
