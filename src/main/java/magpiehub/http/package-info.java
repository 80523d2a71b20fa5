/**
 * HTTP/1.1 over blocking streams: {@link magpiehub.http.HttpReader} reads the messages of a connection from one buffer,
 * {@link magpiehub.http.HttpWriter} builds the messages that are sent.
 *
 * <p>The package opens and closes no connections. A message whose end two implementations could place differently is
 * never accepted, because its remainder could be taken for another message (request smuggling): reading it fails with
 * an {@link magpiehub.http.HttpException}.
 */
package magpiehub.http;
