package cluster

import (
	"time"

	"lilaclead/internal/wire"
)

// ImageCache is an estimate, from heartbeats, of the images that a machine has on disk. An
// image counts as cached once a task that uses it has got past the fetch, until later images
// evict it. Reconciliation writes it.
type ImageCache struct {
	Images map[wire.ImageID]cachedImage
}

type cachedImage struct {
	sizeGB float64
	usedAt time.Time
}

// Has reports whether an image counts as cached.
func (c *ImageCache) Has(id wire.ImageID) bool {
	_, ok := c.Images[id]
	return ok
}

// RecordUse records that an image was used, in a cache of the given capacity, and evicts the
// least recently used images that no longer fit. A capacity of 0 is unknown: nothing is
// evicted.
func (c *ImageCache) RecordUse(id wire.ImageID, sizeGB, capacityGB float64, now time.Time) {
	if c.Images == nil {
		c.Images = map[wire.ImageID]cachedImage{}
	}
	c.Images[id] = cachedImage{sizeGB: sizeGB, usedAt: now}
	if capacityGB <= 0 {
		return
	}
	for c.usedGB() > capacityGB {
		victim := c.leastRecentlyUsed(id)
		if victim == id {
			return // an image in use stays, even if it is too large
		}
		delete(c.Images, victim)
	}
}

// usedGB returns the total size of the cached images.
func (c *ImageCache) usedGB() float64 {
	used := 0.0
	for _, image := range c.Images {
		used += image.sizeGB
	}
	return used
}

// leastRecentlyUsed returns the image that was used longest ago. The parameter newest is the
// image used last. It is returned only if no other image was used before it.
func (c *ImageCache) leastRecentlyUsed(newest wire.ImageID) wire.ImageID {
	oldest := newest
	for id, image := range c.Images {
		if image.usedAt.Before(c.Images[oldest].usedAt) {
			oldest = id
		}
	}
	return oldest
}
