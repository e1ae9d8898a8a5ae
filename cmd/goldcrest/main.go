// Command goldcrest is the operators' command line: it checks files without a
// running system, and reads and changes the configuration through any VM.
//
// Exit codes: 0 done; 1 failed otherwise; 2 wrong usage, or input refused; 3 lost
// a race (the object changed meanwhile); 4 not accepted, since no VM or not the
// platform could be reached; 5 unknown whether accepted; 6 no such object; 7 key refused.
package main

import "os"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
