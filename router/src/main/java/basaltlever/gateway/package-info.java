/** Defines the settings that decisions depend on and the interface that receives their outputs. */
package basaltlever.gateway;
