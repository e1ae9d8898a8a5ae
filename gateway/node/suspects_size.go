package node

import "goldcrestfork/policy/poison"

// Sizes of the encoded reports, at most. Those of crashes and parts of prompts depend on their numbers, most of
// which are small.
const (
	// reportBytes and lateSectionBytes are the sizes of crashReports and of lateReports with empty lists.
	reportBytes, lateSectionBytes = 26, 22
	// verdictBytes is the size of a verdict, knownAnswersBytes that of its known answers, answersBytes that of a
	// number of answers without the service's name.
	verdictBytes, knownAnswersBytes, answersBytes = 15, 5, 8
)

// reportRoom is the number of bytes that are left for reports.
type reportRoom int

// take takes the given number of bytes, and reports whether they were left.
func (r *reportRoom) take(n int) bool {
	if int(*r) < n {
		return false
	}
	*r -= reportRoom(n)
	return true
}

// listSize returns the size of a service's empty list.
func listSize(service string) int { return len(service) + 4 }

// encodedSize returns the size of an encoded number.
func encodedSize(n uint32) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	}
	return 5
}

func requestSize(r *poison.Request) int { return 11 + encodedSize(r.Survived) }

func partSize(p *poison.Part) int {
	return 10 + encodedSize(p.Carrier) + encodedSize(p.Survived) + encodedSize(p.AnsweredMs)
}

func partsSize(parts []poison.Part) (n int) {
	for i := range parts {
		n += partSize(&parts[i])
	}
	return n
}

func crashSize(c *poison.Crash) int {
	n := 7 + len(c.Endpoint) + encodedSize(c.AgeMs) + encodedSize(c.Running) + partsSize(c.Parts)
	for i := range c.Requests {
		n += requestSize(&c.Requests[i])
	}
	return n
}

func partCrashSize(c *poison.PartCrash) int {
	return 5 + len(c.Endpoint) + encodedSize(c.AgeMs) + encodedSize(c.Weight) + partsSize(c.Parts)
}
