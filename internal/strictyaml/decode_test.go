package strictyaml

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// shade implements encoding.TextUnmarshaler and accepts only the text "dark".
type shade string

func (s *shade) UnmarshalText(text []byte) error {
	if string(text) != "dark" {
		return fault.New(fault.BadRequest, "must be dark")
	}
	*s = "dark"
	return nil
}

type sample struct {
	Name  string        `yaml:"name"`
	Count uint8         `yaml:"count,omitempty"`
	Share float64       `yaml:"share"`
	On    bool          `yaml:"on"`
	Wait  time.Duration `yaml:"wait"`
	Shade shade         `yaml:"shade"`
	Items []sample      `yaml:"items"`
	Skip  string        `yaml:"-"`
}

func TestDecodeFillsEachType(t *testing.T) {
	var got sample
	d, err := Decode([]byte("name: a\ncount: 7\nshare: 2\non: true\nwait: 2s\nshade: dark\nitems:\n  - {name: b, share: 0.5, on: ~}"), "sample", &got)
	must.NoError(t, err)
	must.SliceEmpty(t, d.Problems())
	want := sample{Name: "a", Count: 7, Share: 2, On: true, Wait: 2 * time.Second, Shade: "dark", Items: []sample{{Name: "b", Share: 0.5}}}
	must.Eq(t, want, got)
	must.True(t, d.Present("items[0].name"))
	must.False(t, d.Present("items[0].on"))
	must.Eq(t, 8, d.Line("items[0].wait"))
}

func TestDecodeNamesEveryProblem(t *testing.T) {
	text := "name: 1\ncount: 256\nshare: x\non: 'true'\nwait: 5\nshade: light\nitems: [~, 3, {no: 1}]\nSkip: a\n-: b"
	d, err := Decode([]byte(text), "sample", new(sample))
	must.NoError(t, err)
	must.Eq(t, []Problem{
		{1, "name", `must be text, not integer "1"`},
		{2, "count", `must be a whole number in range, not integer "256"`},
		{3, "share", `must be a number, not string "x"`},
		{4, "on", `must be true or false, not string "true"`},
		{5, "wait", `must be a duration such as 500ms or 2s, not integer "5"`},
		{6, "shade", "must be dark"},
		{7, "items[0]", "is empty"},
		{7, "items[1]", `must be a mapping, not integer "3"`},
		{7, "items[2].no", "unknown field"},
		{8, "Skip", "unknown field"},
		{9, "-", "unknown field"},
	}, d.Problems())
	must.True(t, d.Failed("items[2].no"))
	must.False(t, d.Failed("items[2]"))
}

func TestDecodeRejectsWhatIsNotAPlainDocument(t *testing.T) {
	cases := map[string]int{
		"name: a\n---\nname: b": 0,
		"name: a\nname: b":      0,
		"name: a\n\"name\": b":  0,
		"name: [":               0,
		"name: a\nshare: &x 1":  2,
		"name: a\nshare: *x":    2,
		"name: !!str 1":         1,
		"items:\n  - - - - - - - - - - - - - - - - - a": 2,
		"items: [[[[[[[[[[[[[[[[[]]]]]":                 1,
	}
	for text, line := range cases {
		_, err := Decode([]byte(text), "sample", new(sample))
		var syntax *SyntaxError
		must.True(t, errors.As(err, &syntax), must.Sprint(text))
		must.Eq(t, line, syntax.Line, must.Sprint(text))
	}
	d, err := Decode(nil, "sample", new(sample))
	must.NoError(t, err)
	must.True(t, d.Empty())
}
