package main

// options are the command line of teaselrackd.
type options struct {
	Settings string `short:"s" long:"settings" required:"true" value-name:"FILE" description:"YAML settings of this daemon"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}
