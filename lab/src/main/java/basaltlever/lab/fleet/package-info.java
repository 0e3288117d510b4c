/** Tests of fleets of routers: long runs with processes, and simulations in virtual time. */
package basaltlever.lab.fleet;
