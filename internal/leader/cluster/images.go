package cluster

import (
	"time"

	"lilaclead/internal/wire"
)

// ImageCache is what the reports imply of a machine's images: an image is
// there once a task of it got past its fetch, until later ones push it out.
type ImageCache struct {
	Images map[wire.ImageID]cachedImage
}

type cachedImage struct {
	sizeGB float64
	usedAt time.Time
}

// Has tells whether an image is taken to be there.
func (c *ImageCache) Has(id wire.ImageID) bool {
	_, ok := c.Images[id]
	return ok
}

// Touch notes that an image was used, in a cache of so much room (0: unknown), and
// drops the least recently used ones that no longer fit.
func (c *ImageCache) Touch(id wire.ImageID, gb, room float64, now time.Time) {
	if c.Images == nil {
		c.Images = map[wire.ImageID]cachedImage{}
	}
	c.Images[id] = cachedImage{gb, now}
	for room > 0 {
		used, oldest := 0.0, id
		for k, i := range c.Images {
			used += i.sizeGB
			if i.usedAt.Before(c.Images[oldest].usedAt) {
				oldest = k
			}
		}
		if used <= room || oldest == id {
			return
		}
		delete(c.Images, oldest)
	}
}
