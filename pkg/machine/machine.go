// Package machine reads the limits that the operating system sets for this process.
package machine

import (
	"bufio"
	"bytes"
	"math"
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/intake"
)

const (
	// fallbackMemory and fallbackDescriptors apply where the system tells no limit.
	fallbackMemory      = 512 << 20
	fallbackDescriptors = 1024
)

// Limits returns the memory of the machine, or less if the process may use less, and the
// limit on open descriptors.
func Limits() intake.Machine {
	m := intake.Machine{MemoryBytes: math.MaxInt64, Descriptors: fallbackDescriptors}
	if raw, err := os.ReadFile("/proc/meminfo"); err == nil {
		m.MemoryBytes = min(m.MemoryBytes, parseMemInfo(raw))
	}
	if raw, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		m.MemoryBytes = min(m.MemoryBytes, parseControlGroup(raw))
	}
	if m.MemoryBytes == math.MaxInt64 {
		m.MemoryBytes = fallbackMemory
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		m.Descriptors = int(min(files.Cur, math.MaxInt32))
	}
	return m
}

// parseMemInfo returns MemTotal of /proc/meminfo, or the largest number if it is missing.
func parseMemInfo(raw []byte) int64 {
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		if kb, err := strconv.ParseInt(fields[1], 10, 64); err == nil && kb > 0 && kb < math.MaxInt64>>10 {
			return kb << 10
		}
	}
	return math.MaxInt64
}

// parseControlGroup returns the limit of memory.max, or the largest number for "max".
func parseControlGroup(raw []byte) int64 {
	if n, err := strconv.ParseInt(strings.TrimSpace(string(raw)), 10, 64); err == nil && n > 0 {
		return n
	}
	return math.MaxInt64
}
