package membership

import (
	"encoding/json"
	"fmt"
)

const (
	// maxMetadataSize bounds the encoded metadata of a member, in bytes (memberlist.MetaMaxSize).
	maxMetadataSize = 512
	// metadataFormat is the version of the encoding. A later version may add keys, because readers ignore unknown keys. It
	// must raise metadata.MinReader only if an older reader would misinterpret the result.
	metadataFormat = 1
)

// metadata is the encoded form of a member, which memberlist gossips along with the node name. The JSON keys are wire format.
type metadata struct {
	Format      int    `json:"f"`
	MinReader   int    `json:"s"` // lowest format whose readers interpret this metadata correctly
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
	Zone        string `json:"z,omitempty"`
	Region      string `json:"r,omitempty"`
	Version     string `json:"v,omitempty"`
	State       State  `json:"t"`
	Capacity    int    `json:"c,omitempty"`
	Config      uint64 `json:"d,omitempty"`
	Successor   bool   `json:"u,omitempty"`
}

// encodeMetadata validates and encodes a member.
func encodeMetadata(m Member) ([]byte, error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(metadata{
		Format:      metadataFormat,
		MinReader:   metadataFormat,
		Name:        m.Name,
		Incarnation: m.Incarnation,
		Zone:        m.Zone,
		Region:      m.Region,
		Version:     m.Version,
		State:       m.State,
		Capacity:    m.Capacity,
		Config:      m.Config,
		Successor:   m.Successor,
	})
	if err != nil {
		return nil, fmt.Errorf("encoding metadata of member %s: %w", m.Name, err)
	}
	if len(encoded) > maxMetadataSize {
		return nil, fmt.Errorf("member %s: %w: %d bytes, more than %d", m.Name, ErrMetadataTooLarge, len(encoded), maxMetadataSize)
	}
	return encoded, nil
}

// decodeMetadata decodes and validates a member from untrusted input.
func decodeMetadata(encoded []byte) (Member, error) {
	if len(encoded) > maxMetadataSize {
		return Member{}, fmt.Errorf("%w: %d bytes, more than %d", ErrMetadataTooLarge, len(encoded), maxMetadataSize)
	}
	var data metadata
	if err := json.Unmarshal(encoded, &data); err != nil {
		return Member{}, fmt.Errorf("decoding metadata: %w", err)
	}
	if data.MinReader < 1 || data.MinReader > metadataFormat {
		return Member{}, fmt.Errorf("%w %d: requires a reader of format %d, this reader supports format %d", ErrUnsupportedMetadata, data.Format, data.MinReader, metadataFormat)
	}
	m := Member{
		Name:        data.Name,
		Incarnation: data.Incarnation,
		Zone:        data.Zone,
		Region:      data.Region,
		Version:     data.Version,
		State:       data.State,
		Capacity:    data.Capacity,
		Config:      data.Config,
		Successor:   data.Successor,
	}
	return m, m.validate()
}
