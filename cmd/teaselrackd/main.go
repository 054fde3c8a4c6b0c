// Command teaselrackd is the daemon beside a target.
package main

func main() {}
