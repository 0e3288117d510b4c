/** The settings that decisions work with, and the interface through which decisions take effect. */
package basaltlever.gateway;
