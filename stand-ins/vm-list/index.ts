/** The stand-in for the platform's list of VMs. */
export * from './stand-in.js';
