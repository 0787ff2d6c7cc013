package controller

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/journaler"
	"github.com/boragehead/boragehead/internal/quarantiner"
)

const (
	// quarantineFile is the file with the evidence that must outlive all instances.
	quarantineFile = "quarantine"
	// quarantineSaveInterval is the least time between two writes of it.
	quarantineSaveInterval = time.Second
)

// savedQuarantine is the content of quarantineFile, as CBOR.
type savedQuarantine struct {
	// SavedAtMillis is when it was written, in milliseconds of Unix time. The ages of the
	// evidence count from then.
	SavedAtMillis int64              `cbor:"t"`
	Parts         []quarantiner.Part `cbor:"p"`
}

// loadQuarantine reads the evidence that an earlier start has saved. Without it this
// instance starts with none.
func (c *Controller) loadQuarantine(disk journaler.Disk) {
	data, err := disk.Read(quarantineFile)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var saved savedQuarantine
	if err == nil {
		err = decoder.Stored(data, &saved)
	}
	if err != nil {
		klog.ErrorS(err, "cannot read the saved quarantine", "file", quarantineFile, "bytes", len(data))
		return
	}
	now := time.Now()
	elapsed := max(now.Sub(time.UnixMilli(saved.SavedAtMillis)), 0)
	for i := range saved.Parts {
		saved.Parts[i].Delay(elapsed)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.Merge(now, saved.Parts)
	klog.InfoS("saved quarantine", "parts", len(saved.Parts), "age", elapsed)
}

// runSaveQuarantine saves what is accused, after changes, until the context ends. It is
// read again only if all instances end at once.
func (c *Controller) runSaveQuarantine(ctx context.Context) error {
	disk := journaler.Folder{Path: c.settings.DataFolder}
	savedRevision, hasSaved := uint64(0), false
	return conductor.RunEvery(ctx, quarantineSaveInterval, func(context.Context) {
		now := time.Now()
		c.mu.Lock()
		revision := c.quarantine.Revision()
		accused := c.quarantine.Accused(now)
		c.mu.Unlock()
		if revision == savedRevision || len(accused) == 0 && !hasSaved {
			return
		}
		data, err := cbor.Marshal(savedQuarantine{SavedAtMillis: now.UnixMilli(), Parts: accused})
		if err == nil {
			err = disk.Replace(quarantineFile, data)
		}
		if err != nil {
			klog.ErrorS(err, "cannot save the quarantine", "file", quarantineFile, "parts", len(accused))
			return
		}
		savedRevision, hasSaved = revision, true
	})
}
