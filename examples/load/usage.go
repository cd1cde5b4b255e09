package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Places of fields in /proc/<id>/stat after the name (proc(5)), and the clock
// ticks a second that Linux reports there on every machine.
const (
	userField     = 11
	systemField   = 12
	residentField = 21
	ticks         = 100
)

// usage is what a process has used.
type usage struct {
	processor  time.Duration
	residentKB int
}

func usages(ids []int) ([]usage, error) {
	var all []usage
	for _, id := range ids {
		u, err := usageOf(id)
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

func usageOf(id int) (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return usage{}, err
	}
	_, after, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(after)
	if len(fields) <= residentField {
		return usage{}, fmt.Errorf("process %d: unexpected form of stat", id)
	}
	user, errUser := strconv.Atoi(fields[userField])
	system, errSystem := strconv.Atoi(fields[systemField])
	pages, errPages := strconv.Atoi(fields[residentField])
	if errUser != nil || errSystem != nil || errPages != nil {
		return usage{}, fmt.Errorf("process %d: unexpected form of stat", id)
	}
	return usage{
		processor:  time.Duration(user+system) * time.Second / ticks,
		residentKB: pages * os.Getpagesize() / 1024,
	}, nil
}
