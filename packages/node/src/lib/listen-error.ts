/**
 * Error for a listener that can't listen on its address.
 */
import {BaseError} from '@hemlockthread/verdict';
import type {ListenAddress} from '@hemlockthread/settings';

/** @public */
export const ListenError = BaseError.subclass('ListenError');

/** Explanations of the common system errors for operators. */
const explanations: Readonly<Record<string, string>> = {
	EADDRINUSE: 'the address is in use by another process',
	EADDRNOTAVAIL: 'this machine has no such address',
	EACCES: 'this process may not listen on that port',
};

/**
 * Starts a listener.
 *
 * @throws ListenError naming the listener and its address.
 * @public
 */
export async function startListener(name: string, address: ListenAddress, listen: () => Promise<void>): Promise<void> {
	try {
		await listen();
	} catch (error) {
		const {code, message} = error as NodeJS.ErrnoException;
		throw new ListenError(`listener ${name} can't listen on ${address.host} port ${address.port}: ${explanations[code ?? ''] ?? message}`);
	}
}
