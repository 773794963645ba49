/**
 * Frames and connections between nodes, the age bound of frames, and retry delays. Each frame is one msgpack map in a
 * binary WebSocket message.
 */
export {
	FrameType, protocolVersions, frameLimits, type Frame, type HelloFrame, type RequestFrame, type CancelFrame,
	type ResponseFrame, type HeartbeatFrame, type AnnounceFrame, type FetchFrame, type RecordFrame, type FrameHeaders,
	type Revisions,
} from './lib/frames.js';
export {encodeFrame, decodeFrame} from './lib/codec.js';
export {
	fullJitter, waitForAbort, abortableDelay, type JitterRange,
} from './lib/full-jitter.js';
export {checkConnectionEnd} from './lib/connection-end.js';
export {readResponse, type ReadResponseOptions} from './lib/read-response.js';
export {LinkClock} from './lib/link-clock.js';
export {
	PeerConnection, connectionOptions, type ConnectionOptions, type PeerHandlers, type RequestPayload, type ResponsePayload, type LocalPeer,
	type IncomingRequest, type PeerTraffic,
} from './lib/peer-connection.js';
export {PeerServer, dialPeer} from './lib/peer-server.js';
