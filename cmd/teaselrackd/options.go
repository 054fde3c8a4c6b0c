package main

// options are the command-line options of teaselrackd.
type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"YAML settings of this daemon"`
	Platform bool   `long:"platform" description:"take the settings from the platform that starts this process"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}
