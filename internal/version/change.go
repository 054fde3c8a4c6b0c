package version

// Action says what a note does to one entry.
type Action string

// Actions of a change.
const (
	Added     Action = "added"
	Changed   Action = "changed"
	Withdrawn Action = "withdrawn"
)

// Change is one line of the difference that a note makes.
type Change struct {
	Action Action `json:"action"`
	// Sort is team, key, route, failure domain, target, service or limits.
	Sort string `json:"sort"`
	Name string `json:"name"`
	// Before and After are the entries as YAML, empty where there is none.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}
