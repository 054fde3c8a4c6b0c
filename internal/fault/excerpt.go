package fault

import "strings"

// excerptEnd marks a text of which only the beginning is quoted.
const excerptEnd = "..."

// Excerpt returns text, or its beginning if it is longer than limit bytes. Invalid UTF-8
// is left out. Messages that quote what others have sent must be bounded, since they go
// into logs and responses.
func Excerpt(text string, limit int) string {
	if len(text) <= limit {
		return strings.ToValidUTF8(text, "")
	}
	return strings.ToValidUTF8(text[:limit], "") + excerptEnd
}
