// Command goldcrest is the operators' command line. It checks files without a
// running system, and reads and changes the configuration through any VM.
//
// Exit codes: 0 done; 1 failed for another reason; 2 wrong usage or refused input;
// 3 conflict (the object changed meanwhile); 4 not accepted, because either no VM or
// the platform was unreachable; 5 unknown whether accepted; 6 no such object or
// request; 7 key refused.
package main

import "os"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
